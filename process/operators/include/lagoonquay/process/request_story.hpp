//! The story of one request, from the JSON log lines of several processes.
#pragma once

#include "lagoonquay/request/ids.hpp"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace lagoonquay
{

//! One line of a story.
struct story_line
{
    std::int64_t time_ms = 0; //!< since the Unix epoch, on its process's clock
    std::string process;
    std::string part;
    std::string what; //!< the event or sentence, then its other members
    bool around =
        false; //!< not of the request, but of a process that served it

    friend bool operator==(const story_line&, const story_line&) = default;
};

//! Gathers the lines of one request. Not thread-safe.
class request_story
{
public:
    explicit request_story(submission_id submission);

    //! Takes over the lines of a log; what stands before the first brace of a
    //! line is left out, and so are lines that are not JSON.
    void read(std::istream& log);

    //! @return the request's lines in the order of their time, and between
    //! them what else its processes wrote, from 2 s before its first line on.
    std::vector<story_line> tell() const;

private:
    void read_line(const std::string& line);

    const submission_id submission_;
    std::vector<story_line> own_;
    std::vector<story_line> others_;
};

//! @return the lines for a person, with the time since the first of them.
std::string story_text(const std::vector<story_line>& story);

//! @return the lines as a JSON array.
std::string story_json(const std::vector<story_line>& story);

} // namespace lagoonquay
