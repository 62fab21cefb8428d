//! Framing of records on disk: length, checksums, payload.
#pragma once

#include "lagoonquay/process/error.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonquay
{

//! @return the payload with its frame.
std::string frame_record(std::string_view payload);

struct framed_records
{
    std::vector<std::string_view> payloads;
    std::vector<std::uint64_t> offsets; //!< of each payload's frame
    std::uint64_t end = 0;              //!< of the last whole record
};

//! Splits a file into its records.
//! @param synced  bytes that are known to have been synced.
//! @return the records before a torn tail; or storage, with the offset, if
//!         anything is wrong before `synced` or a whole record follows it.
process_result<framed_records> split_records(std::string_view content,
                                             std::uint64_t synced,
                                             const std::string& path);

//! Which log file is in use and how much of it is synced.
struct log_mark
{
    std::uint64_t generation = 0;
    std::uint64_t synced = 0; //!< bytes

    friend bool operator==(const log_mark&, const log_mark&) = default;
};

std::string encode_mark(const log_mark& mark);
//! @return the mark, or storage.
process_result<log_mark> decode_mark(std::string_view content,
                                     const std::string& path);

} // namespace lagoonquay
