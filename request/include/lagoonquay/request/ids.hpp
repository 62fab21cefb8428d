//! Strong identifiers. Two kinds of id never compare or convert to each other.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace lagoonquay
{

//! A text identifier that is distinct for each Tag.
template <typename Tag>
class text_id
{
public:
    text_id() = default;
    explicit text_id(std::string text) : text_(std::move(text))
    {
    }

    const std::string& text() const noexcept
    {
        return text_;
    }
    bool empty() const noexcept
    {
        return text_.empty();
    }
    friend auto operator<=>(const text_id&, const text_id&) = default;

private:
    std::string text_;
};

//! A numeric identifier that is distinct for each Tag.
template <typename Tag>
class number_id
{
public:
    number_id() = default;
    constexpr explicit number_id(std::uint64_t number) noexcept
        : number_(number)
    {
    }

    constexpr std::uint64_t number() const noexcept
    {
        return number_;
    }
    friend constexpr auto operator<=>(const number_id&,
                                      const number_id&) = default;

private:
    std::uint64_t number_ = 0;
};

using submission_id = text_id<struct submission_tag>;
using customer_id = text_id<struct customer_tag>;
using entry_id = text_id<struct entry_tag>;
using agent_id = text_id<struct agent_tag>;
using replica_id = text_id<struct replica_tag>;
using domain_id = text_id<struct domain_tag>;
using command_id = text_id<struct command_tag>;
using service_id = text_id<struct service_tag>;

//! Bytes in the name of a service.
constexpr std::size_t max_service_bytes = 256;

//! One run of a process; a restart draws a new one.
using incarnation = number_id<struct incarnation_tag>;

//! Position of a task in its job, counted from zero.
using task_index = number_id<struct task_index_tag>;

//! Number of one dispatch of a task, counted from one.
using attempt_number = number_id<struct attempt_tag>;

//! Digest of a submission's content.
using content_digest = number_id<struct digest_tag>;

} // namespace lagoonquay

template <typename Tag>
struct std::hash<lagoonquay::text_id<Tag>>
{
    std::size_t operator()(const lagoonquay::text_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>()(id.text());
    }
};

template <typename Tag>
struct std::hash<lagoonquay::number_id<Tag>>
{
    std::size_t operator()(const lagoonquay::number_id<Tag>& id) const noexcept
    {
        return std::hash<std::uint64_t>()(id.number());
    }
};
