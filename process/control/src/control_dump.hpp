//! JSON dump of a control replica for operators.
#pragma once

#include "lagoonquay/process/control_service.hpp"

#include <string>
#include <vector>

namespace lagoonquay
{

std::string dump_control(const control_replica_state& state,
                         const std::vector<member_report>& members);

} // namespace lagoonquay
