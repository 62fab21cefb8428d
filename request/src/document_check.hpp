//! Checks of a JSON document that are made before any of it is kept.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonquay
{

//! Most members of one object; our documents have far fewer.
constexpr std::size_t max_object_members = 1024;

//! @param text  a JSON document, valid or not.
//! @return why the parsed document would take too many times the memory of its
//! text, as one of very many short members or elements does; nothing if it
//! does not.
std::optional<std::string> find_fleet_document_fault(std::string_view text);

//! @param text  a JSON document from outside the fleet, valid or not.
//! @return as find_fleet_document_fault(), by a lower bound; or a member that
//! stands twice in its object, or an object with too many members.
std::optional<std::string> find_outside_document_fault(std::string_view text);

} // namespace lagoonquay
