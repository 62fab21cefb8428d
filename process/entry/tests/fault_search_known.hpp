//! Shortest paths whose causes KNOWN-RED.txt lists.
#pragma once

#include "fault_search.hpp"

#include <string>

namespace lagoonquay
{

//! @return the entry of KNOWN-RED.txt, or nothing.
std::string known_fault(const found_path& found);

} // namespace lagoonquay
