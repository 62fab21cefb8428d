//! What a refused connection says about the process that was to be reached.
#pragma once

#include <functional>

namespace lagoonquay
{

//! @return whether a refused connection shows that the process on the other
//! side has ended, with its memory. A cut may refuse connections as well, and
//! the process then goes on. Called from any thread.
using refusal_proof_hook = std::function<bool()>;

} // namespace lagoonquay
