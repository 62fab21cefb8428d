//! The scenario language: one command a line.
#pragma once

#include "fake_fleet.hpp"
#include "lagoonquay/request/error.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace lagoonquay
{

//! What can go wrong with a scenario's text.
enum class scenario_errc
{
    malformed,
};

template <typename T>
using scenario_result = layer_result<T, scenario_errc>;

//! One line: a command and its words.
struct scenario_line
{
    std::size_t number = 0; //!< counted from one
    std::string command;
    std::vector<std::string> words;

    friend bool operator==(const scenario_line&,
                           const scenario_line&) = default;
};

//! Splits a text into its lines; "#" begins a comment.
std::vector<scenario_line> parse_scenario(std::string_view text);

//! @return the value of the word "key=value", or the fallback.
std::string named_word(const scenario_line& line, std::string_view key,
                       const std::string& fallback);

//! Reads "250ms", "3s" or a plain number of milliseconds.
duration read_duration(const std::string& text);

//! What came of a run.
struct scenario_report
{
    std::string transcript;
    std::vector<std::string> failures; //!< broken promises and expectations

    friend bool operator==(const scenario_report&,
                           const scenario_report&) = default;
};

//! Runs a scenario from its start to its end.
scenario_report run_scenario(const std::vector<scenario_line>& lines);

} // namespace lagoonquay
