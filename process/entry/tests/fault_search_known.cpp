// Shortest paths whose causes KNOWN-RED.txt lists.
#include "fault_search_known.hpp"

#include <vector>

namespace lagoonquay
{

namespace
{

using actions = std::vector<std::string>;

struct known_path
{
    std::string kind;
    actions path;
    std::string red; //!< entry of KNOWN-RED.txt
};

const std::string again = "the job is sent again to entry-1";
const std::string dies = "entry-0 dies";
const std::string anew = "entry-0 begins anew";
const std::string twice = "round granted twice";
const std::string other_dies = "entry-1 dies";
const std::string other_anew = "entry-1 begins anew";
const std::string third_anew = "entry-2 begins anew";
const std::string again_0 = "the job is sent again to entry-0";
const std::string again_2 = "the job is sent again to entry-2";
const std::string lost_memory =
    "listed_ledgers.know_that_a_majority_began_anew_after_a_holder_died";

const std::vector<known_path>& known_paths()
{
    static const std::vector<known_path> all{
        {twice, {dies, other_anew, again}, lost_memory},
        {twice, {dies, other_anew, again_2}, lost_memory},
        {twice, {dies, other_dies, again_2}, lost_memory},
        {twice, {anew, other_dies, again_2}, lost_memory},
        {twice, {anew, other_anew, again}, lost_memory},
        {twice, {anew, other_anew, again_2}, lost_memory},
        {twice, {anew, other_dies, again_0}, lost_memory},
        {twice, {anew, other_anew, again_0}, lost_memory},
        {twice, {other_dies, dies, third_anew, again_2}, lost_memory},
        {twice, {other_dies, anew, third_anew, again_0}, lost_memory},
        {twice, {other_dies, anew, third_anew, again_2}, lost_memory},
    };
    return all;
}

std::string joined(const actions& path)
{
    std::string text;
    for (const auto& it : path)
        text += (text.empty() ? "" : "; ") + it;
    return text;
}

} // namespace

std::string known_fault(const found_path& found)
{
    for (const auto& it : known_paths())
    {
        if (it.kind == found.kind && joined(it.path) == found.actions())
            return it.red;
    }
    return {};
}

} // namespace lagoonquay
