#include "promises.hpp"
#include "scenario.hpp"

#include <functional>
#include <map>
#include <memory>
#include <sstream>

namespace lagoonquay
{

namespace
{

constexpr duration step = std::chrono::milliseconds(10);

//! The answers that one submission got, in order.
struct answers
{
    std::vector<job_answer> seen;
};

//! State of one run of a scenario.
class scenario_session
{
public:
    explicit scenario_session(const scenario_line* first)
        : options_(read_options(first)), promises_(options_.slots),
          fleet_(
              options_, [this](const std::string& text) { write(text); },
              [this](const seen_start& it) { on_start(it); })
    {
    }

    void run(const scenario_line& line)
    {
        static const std::map<std::string,
                              void (scenario_session::*)(const scenario_line&)>
            commands{{"fleet", &scenario_session::skip},
                     {"advance", &scenario_session::advance},
                     {"submit", &scenario_session::submit},
                     {"cancel", &scenario_session::cancel},
                     {"out", &scenario_session::take_out},
                     {"in", &scenario_session::bring_back},
                     {"pending-out", &scenario_session::pending_out},
                     {"catch-up", &scenario_session::catch_up},
                     {"expect", &scenario_session::expect}};
        const auto it = commands.find(line.command);
        if (it != commands.end())
            (this->*it->second)(line);
        else
            disturb(line);
    }

    scenario_report finish()
    {
        promises_.ran_at_once(fleet_.most_running());
        auto failures = failures_;
        for (const auto& it : promises_.broken())
            failures.push_back("promise broken: " + it);
        return {out_.str(), std::move(failures)};
    }

private:
    static fake_fleet_options read_options(const scenario_line* line)
    {
        fake_fleet_options options;
        if (line == nullptr || line->command != "fleet")
            return options;
        const auto read = [&](const char* key, std::size_t fallback)
        {
            return std::stoul(named_word(*line, key, std::to_string(fallback)));
        };
        options.domains = read("domains", options.domains);
        options.entries = read("entries", options.entries);
        options.agents = read("agents", options.agents);
        options.slots =
            static_cast<std::uint32_t>(read("slots", options.slots));
        return options;
    }

    void skip(const scenario_line&)
    {
    }

    void advance(const scenario_line& line)
    {
        auto left = read_duration(word(line, 0));
        while (left > duration(0))
        {
            const auto span = std::min(left, step);
            fleet_.advance(span);
            left -= span;
        }
    }

    void submit(const scenario_line& line)
    {
        const submission_id id(word(line, 0));
        const auto entry = named_word(line, "via", "entry-1");
        const auto it = jobs_.find(id);
        if (it == jobs_.end())
            jobs_.emplace(id, read_job(id, line));
        const auto work = jobs_.at(id);
        promises_.submitted(work);
        write("submit " + id.text() + " via " + entry);
        fleet_.submit(entry, work,
                      [this, entry](const job_answer& answer)
                      { on_answer(entry, answer); });
    }

    job read_job(const submission_id& id, const scenario_line& line) const
    {
        job_options options;
        options.submission = id;
        options.customer = customer_id(named_word(line, "customer", "desk"));
        options.created = fleet_.wall();
        options.time_limit = read_duration(named_word(line, "limit", "30s"));
        options.idempotent = named_word(line, "idempotent", "no") == "yes";
        const auto tasks = std::stoul(named_word(line, "tasks", "1"));
        const auto payload = named_word(line, "run", "100");
        for (std::size_t n = 0; n < tasks; ++n)
            options.tasks.push_back(
                task({.kind = "quote", .payload = payload}));
        return job(std::move(options));
    }

    void cancel(const scenario_line& line)
    {
        write("cancel " + word(line, 0));
        fleet_.cancel(named_word(line, "via", "entry-1"),
                      submission_id(word(line, 0)));
    }

    void take_out(const scenario_line& line)
    {
        write("out " + word(line, 0));
        promises_.taken_out(domain_id(word(line, 0)), fleet_.now());
        fleet_.set_domain_state(domain_id(word(line, 0)), false);
    }

    void bring_back(const scenario_line& line)
    {
        write("in " + word(line, 0));
        promises_.brought_back(domain_id(word(line, 0)));
        fleet_.set_domain_state(domain_id(word(line, 0)), true);
    }

    void pending_out(const scenario_line& line)
    {
        write("pending-out " + word(line, 0) + " at " + word(line, 1));
        fleet_.leave_pending_out(word(line, 1), domain_id(word(line, 0)));
    }

    void catch_up(const scenario_line&)
    {
        fleet_.catch_up();
    }

    void disturb(const scenario_line& line)
    {
        write(line.command + " " + word(line, 0) +
              (line.words.size() > 1 ? " " + word(line, 1) : ""));
        if (!fleet_.knows(word(line, 0)))
            return fail_line(line, "unknown node");
        if (line.command == "kill")
            return fleet_.kill(word(line, 0));
        if (line.command == "restart")
            return fleet_.restart(word(line, 0));
        if (line.command == "freeze")
            return fleet_.freeze(word(line, 0));
        if (line.command == "thaw")
            return fleet_.thaw(word(line, 0));
        if (line.command == "drain")
            return fleet_.drain(word(line, 0));
        disturb_pair(line);
    }

    void disturb_pair(const scenario_line& line)
    {
        const node_pair pair(word(line, 0), word(line, 1));
        auto& network = fleet_.network();
        const auto count = static_cast<std::uint32_t>(
            std::stoul(named_word(line, "count", "1")));
        if (line.command == "cut")
            return network.cut(pair);
        if (line.command == "heal")
            return network.heal(pair);
        if (line.command == "delay")
            return network.delay(pair,
                                 read_duration(named_word(line, "by", "0")));
        if (line.command == "drop")
            return network.drop_next(pair, count);
        if (line.command == "duplicate")
            return network.duplicate_next(pair, count);
        fail_line(line, "unknown command");
    }

    // "expect JOB complete|failed|unanswered", "expect JOB starts N",
    // "expect JOB ran not_run|unknown|ran", "expect JOB reason NAME".
    void expect(const scenario_line& line)
    {
        const submission_id id(word(line, 0));
        const auto what = word(line, 1);
        const auto& seen = answers_[id].seen;
        if (what == "starts")
            return compare(line, std::to_string(promises_.starts_of(id)),
                           word(line, 2));
        if (what == "unanswered")
            return compare(line, std::to_string(seen.size()), "0");
        if (seen.empty())
            return fail_line(line, "no answer yet");
        const auto& last = seen.back();
        if (what == "complete" || what == "failed")
            return compare(line, succeeded(last) ? "complete" : "failed", what);
        if (what == "ran")
            return compare(line, std::string(to_text(last->ran)),
                           word(line, 2));
        if (what == "reason")
            return compare(line, std::string(to_text(last->reason)),
                           word(line, 2));
        fail_line(line, "unknown expectation");
    }

    void compare(const scenario_line& line, const std::string& seen,
                 const std::string& expected)
    {
        if (seen != expected)
            fail_line(line, "expected " + expected + ", seen " + seen);
    }

    void fail_line(const scenario_line& line, const std::string& detail)
    {
        failures_.push_back("line " + std::to_string(line.number) + ": " +
                            line.command + ": " + detail);
    }

    static std::string word(const scenario_line& line, std::size_t n)
    {
        return n < line.words.size() ? line.words[n] : std::string();
    }

    void on_start(const seen_start& it)
    {
        write("start " + it.key.submission.text() + "/" +
              std::to_string(it.key.index.number()) + " at " + it.agent);
        promises_.started(it);
    }

    void on_answer(const std::string& entry, const job_answer& answer)
    {
        std::string text =
            "answer " + answer->submission.text() + " from " + entry + ": ";
        text += succeeded(answer) ? "complete" : "failed";
        if (!succeeded(answer))
            text.append(" ").append(to_text(answer->reason));
        text.append(", ran ").append(to_text(answer->ran));
        write(text);
        answers_[answer->submission].seen.push_back(answer);
        promises_.answered(answer);
    }

    void write(const std::string& text)
    {
        const auto since =
            fleet_.now().time_since_epoch() - std::chrono::hours(1);
        out_ << since.count() / 1000 << "ms " << text << "\n";
    }

    std::ostringstream out_;
    std::vector<std::string> failures_;
    fake_fleet_options options_;
    promises promises_;
    fake_fleet fleet_;
    std::map<submission_id, job> jobs_;
    std::map<submission_id, answers> answers_;
};

} // namespace

scenario_report run_scenario(const std::vector<scenario_line>& lines)
{
    scenario_session session(lines.empty() ? nullptr : &lines.front());
    for (const auto& it : lines)
        session.run(it);
    return session.finish();
}

} // namespace lagoonquay
