#include "record_file.hpp"

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>
#include <optional>

namespace endian = boost::endian;

namespace lagoonquay
{

namespace
{

constexpr std::size_t word_bytes = 4;
constexpr std::size_t frame_bytes = 3 * word_bytes;
constexpr std::size_t mark_bytes = 20;
constexpr std::uint64_t longest_record = 512ULL * 1024 * 1024;

std::uint32_t checksum(std::string_view data)
{
    boost::crc_32_type crc;
    crc.process_bytes(data.data(), data.size());
    return crc.checksum();
}

const unsigned char* bytes_at(std::string_view content, std::size_t offset)
{
    return reinterpret_cast<const unsigned char*>(content.data() + offset);
}

unsigned char* bytes_at(std::string& content, std::size_t offset)
{
    return reinterpret_cast<unsigned char*>(content.data() + offset);
}

//! @return the payload of the record at `offset`, if it is whole and sound.
std::optional<std::string_view> record_at(std::string_view content,
                                          std::uint64_t offset)
{
    if (content.size() - offset < frame_bytes)
        return std::nullopt;
    const auto frame = content.substr(offset, frame_bytes);
    const std::uint64_t size = endian::load_little_u32(bytes_at(frame, 0));
    const auto sum = endian::load_little_u32(bytes_at(frame, word_bytes));
    const auto frame_sum =
        endian::load_little_u32(bytes_at(frame, 2 * word_bytes));
    if (frame_sum != checksum(frame.substr(0, 2 * word_bytes)))
        return std::nullopt;
    const auto left = content.size() - offset - frame_bytes;
    if (size > longest_record || size > left)
        return std::nullopt;
    const auto payload = content.substr(offset + frame_bytes, size);
    if (checksum(payload) != sum)
        return std::nullopt;
    return payload;
}

bool record_follows(std::string_view content, std::uint64_t offset)
{
    for (auto n = offset + 1; n + frame_bytes <= content.size(); ++n)
    {
        if (record_at(content, n))
            return true;
    }
    return false;
}

} // namespace

// The frame has a checksum of its own: a damaged length would otherwise look
// like a torn tail and cut off all that follows.
std::string frame_record(std::string_view payload)
{
    std::string framed(frame_bytes, '\0');
    endian::store_little_u32(bytes_at(framed, 0),
                             static_cast<std::uint32_t>(payload.size()));
    endian::store_little_u32(bytes_at(framed, word_bytes), checksum(payload));
    const auto head = std::string_view(framed).substr(0, 2 * word_bytes);
    endian::store_little_u32(bytes_at(framed, 2 * word_bytes), checksum(head));
    return framed.append(payload);
}

process_result<framed_records> split_records(std::string_view content,
                                             std::uint64_t synced,
                                             const std::string& path)
{
    framed_records found;
    while (found.end < content.size())
    {
        const auto payload = record_at(content, found.end);
        if (!payload)
            break;
        found.payloads.push_back(*payload);
        found.offsets.push_back(found.end);
        found.end += frame_bytes + payload->size();
    }
    if (content.size() < synced)
        return fail(process_errc::storage,
                    path + ": cut short: " + std::to_string(content.size()) +
                        " of " + std::to_string(synced) + " synced bytes");
    if (found.end < synced || record_follows(content, found.end))
        return fail(process_errc::storage, path +
                                               ": corrupt record at offset " +
                                               std::to_string(found.end));
    return found;
}

std::string encode_mark(const log_mark& mark)
{
    std::string content(mark_bytes, '\0');
    endian::store_little_u64(bytes_at(content, 0), mark.generation);
    endian::store_little_u64(bytes_at(content, 2 * word_bytes), mark.synced);
    const auto head = std::string_view(content).substr(0, 4 * word_bytes);
    endian::store_little_u32(bytes_at(content, 4 * word_bytes), checksum(head));
    return content;
}

process_result<log_mark> decode_mark(std::string_view content,
                                     const std::string& path)
{
    const auto head = content.substr(0, 4 * word_bytes);
    if (content.size() != mark_bytes ||
        endian::load_little_u32(bytes_at(content, 4 * word_bytes)) !=
            checksum(head))
        return fail(process_errc::storage,
                    path + ": corrupt record at offset 0");
    return log_mark{endian::load_little_u64(bytes_at(content, 0)),
                    endian::load_little_u64(bytes_at(content, 2 * word_bytes))};
}

} // namespace lagoonquay
