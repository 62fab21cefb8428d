//! Body of a request that arrives.
#pragma once

#include "beast_common.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoonquay
{

//! A body type for Beast's parser. A long body, or one of unknown length, is
//! kept in pieces: a string that grows would for a while take three times its
//! text, and one of the whole length is taken by who sends only a header.
struct request_body
{
    class value_type
    {
    public:
        //! Takes memory for a short body.
        void expect(std::size_t bytes)
        {
            if (bytes <= max_whole_bytes)
                pieces_.emplace_back().reserve(bytes);
        }

        void append(const char* text, std::size_t bytes)
        {
            while (bytes > 0)
            {
                if (pieces_.empty() || room() == 0)
                    pieces_.emplace_back().reserve(piece_bytes);
                const auto n = std::min(bytes, room());
                pieces_.back().append(text, n);
                text += n;
                bytes -= n;
                size_ += n;
            }
        }

        std::size_t size() const noexcept
        {
            return size_;
        }

        //! @return the whole text; nothing is left here.
        std::string take()
        {
            auto pieces = std::move(pieces_);
            if (pieces.empty())
                return {};
            std::string whole = std::move(pieces.front());
            if (pieces.size() > 1)
                whole.reserve(size_);
            for (std::size_t n = 1; n < pieces.size(); ++n)
                whole += pieces[n];
            return whole;
        }

    private:
        static constexpr std::size_t piece_bytes = 16UL * 1024;
        static constexpr std::size_t max_whole_bytes = 64UL * 1024;

        std::size_t room() const noexcept
        {
            return pieces_.back().capacity() - pieces_.back().size();
        }

        std::vector<std::string> pieces_;
        std::size_t size_ = 0;
    };

    //! The parser has checked its limit before it calls.
    class reader
    {
    public:
        template <bool IsRequest, typename Fields>
        reader(http::header<IsRequest, Fields>&, value_type& body) : body_(body)
        {
        }

        void init(const boost::optional<std::uint64_t>& length, error_code& ec)
        {
            ec = {};
            if (length)
                body_.expect(static_cast<std::size_t>(*length));
        }

        template <typename Buffers>
        std::size_t put(const Buffers& buffers, error_code& ec)
        {
            ec = {};
            std::size_t bytes = 0;
            for (const auto it : beast::buffers_range_ref(buffers))
            {
                body_.append(static_cast<const char*>(it.data()), it.size());
                bytes += it.size();
            }
            return bytes;
        }

        void finish(error_code& ec)
        {
            ec = {};
        }

    private:
        value_type& body_;
    };
};

} // namespace lagoonquay
