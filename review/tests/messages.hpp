//! Sample messages of messages.md.
#pragma once

#include <map>
#include <string>

namespace lagoonquay::review
{

using values = std::map<std::string, std::string>;

//! @return the text between the fences below the heading, with each @name@
//! replaced by its value.
std::string message(const std::string& heading, const values& filled = {});

//! @return the name of the platform that the part `words` has under `key`.
std::string word(const std::string& key);

//! @return a template of deploy/, filled in as the part `settings` says.
std::string settings(const std::string& role, const values& filled);

} // namespace lagoonquay::review
