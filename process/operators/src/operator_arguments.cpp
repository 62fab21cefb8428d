#include "lagoonquay/process/operator_arguments.hpp"

#include "lagoonquay/process/process_settings.hpp"
#include "lagoonquay/process/program.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>

namespace lagoonquay
{

namespace
{

constexpr std::string_view tool_name = "lagoonquayctl";

//! A mistake on the command line, with a sentence for the reader.
struct usage_error
{
    std::string detail;
};

using words = std::vector<std::string>;

//! One command: its help, and how it reads the words after its name.
struct command_entry
{
    std::string_view name;
    std::string_view operands;
    std::string_view summary;
    std::string_view details;
    std::size_t operand_count = 0;
    std::function<operator_action(const words&)> read;
    bool takes_more = false; //!< operands beyond operand_count
};

change drain_change(const words& operands, bool drained)
{
    if (operands[0] == "agent")
        return set_agent_drain{agent_id(operands[1]), drained};
    if (operands[0] == "entry")
        return set_entry_drain{entry_id(operands[1]), drained};
    throw usage_error{"'" + operands[0] + "' is neither agent nor entry"};
}

endpoint read_endpoint(const std::string& text)
{
    auto parsed = parse_endpoint(text);
    if (!parsed)
        throw usage_error{parsed.error().detail};
    return std::move(parsed).value();
}

const std::vector<command_entry>& commands()
{
    static const std::vector<command_entry> all{
        {"take-out", "DOMAIN", "take a failure domain out of service",
         "No task starts in the domain once the change is in force; tasks "
         "that\n"
         "run there end by themselves. Returns when the change is in force\n"
         "everywhere, unless --no-wait is given.",
         1,
         [](const words& it) -> operator_action
         {
             return send_change{set_domain{domain_id(it[0]), false}};
         }},
        {"bring-back", "DOMAIN", "bring a failure domain back into service",
         "Agents of the domain get permits again and take tasks.", 1,
         [](const words& it) -> operator_action
         {
             return send_change{set_domain{domain_id(it[0]), true}};
         }},
        {"drain", "agent|entry ID", "give a process no new work",
         "The process stays up and ends what it has begun. Use undrain to let\n"
         "it serve again.",
         2,
         [](const words& it) -> operator_action
         {
             return send_change{drain_change(it, true)};
         }},
        {"undrain", "agent|entry ID", "let a drained process serve again",
         "The opposite of drain.", 2,
         [](const words& it) -> operator_action
         {
             return send_change{drain_change(it, false)};
         }},
        {"get-settings", "", "print the fleet's settings in force",
         "Prints the INI text as it was accepted.", 0,
         [](const words&) -> operator_action
         {
             return show_settings{};
         }},
        {"set-settings", "FILE", "replace the fleet's settings",
         "The file is checked first; nothing is sent if it is not valid. Use\n"
         "--expect with the version that status shows, so that nobody else's\n"
         "change is overwritten.",
         1,
         [](const words& it) -> operator_action
         {
             return replace_settings{it[0]};
         }},
        {"exceptions", "", "list the exceptions to the fleet's defaults",
         "Prints each exception with its values and its written reason.", 0,
         [](const words&) -> operator_action
         {
             return list_exceptions{};
         }},
        {"status", "", "show replicas, failure domains and members",
         "Asks every control replica. Fails if less than a majority answers.",
         0,
         [](const words&) -> operator_action
         {
             return show_status{};
         }},
        {"dump", "ADDRESS:PORT", "print the state of one process",
         "The address is that of the process's operators' listener.", 1,
         [](const words& it) -> operator_action
         {
             return dump_process{read_endpoint(it[0])};
         }},
        {"explain", "ID FILE...", "tell the story of one request from logs",
         "Reads log files of several processes ([log] format = json) and "
         "prints\n"
         "the lines of the request in the order of their time. Between them, "
         "in\n"
         "brackets, stands what else the processes that served it wrote, from\n"
         "2 s before. Clocks of several machines may differ.",
         2,
         [](const words& it) -> operator_action
         {
             return explain_request{submission_id(it[0]),
                                    words(it.begin() + 1, it.end())};
         },
         true},
    };
    return all;
}

const command_entry* find_command(std::string_view name)
{
    const auto& all = commands();
    const auto it =
        std::find_if(all.begin(), all.end(),
                     [&](const auto& entry) { return entry.name == name; });
    return it == all.end() ? nullptr : &*it;
}

cxxopts::Options make_options()
{
    cxxopts::Options options(std::string(tool_name),
                             "Operates a lagoonquay fleet.");
    auto add = options.add_options();
    add("control",
        "operators' listeners of the control replicas, with commas between; "
        "default: $LAGOONQUAY_CONTROL",
        cxxopts::value<std::string>());
    add("token-file", "file with the operators' bearer token",
        cxxopts::value<std::string>());
    add("author", "who makes the change; default: $USER",
        cxxopts::value<std::string>());
    add("command-id", "id of the change; the same id is applied once",
        cxxopts::value<std::string>());
    add("expect", "apply only if this is the current version",
        cxxopts::value<std::uint64_t>());
    add("json", "print JSON");
    add("no-wait", "do not wait until the change is in force");
    add("wait", "wait until the change is in force (default)");
    add("force", "take out or drain what no replica has heard of");
    add("version", "print the version and exit");
    add("help", "print this help and exit");
    add("words", "command and operands",
        cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    options.positional_help("COMMAND [OPERANDS]");
    return options;
}

void print_help(const cxxopts::Options& options)
{
    std::cout << options.help() << "\nCommands:\n";
    for (const auto& it : commands())
    {
        constexpr std::size_t column = 30;
        std::string left = "  " + std::string(it.name);
        left.append(" ").append(it.operands);
        left.resize(std::max(left.size() + 1, column), ' ');
        std::cout << left << it.summary << "\n";
    }
    std::cout << "\n'" << tool_name
              << " help COMMAND' tells more about a command.\n"
                 "\nExit codes:\n"
                 "  0  done\n"
                 "  1  a replica refused the request\n"
                 "  2  mistake on the command line\n"
                 "  3  the settings file is not valid; nothing was sent\n"
                 "  4  another version is in force than the one expected\n"
                 "  5  no answer; the change may have been made: run the same\n"
                 "     command with the printed --command-id again\n"
                 "  6  the bearer token is missing or wrong\n";
}

void print_help(const command_entry& it)
{
    std::cout << tool_name << " " << it.name;
    if (!it.operands.empty())
        std::cout << " " << it.operands;
    std::cout << "\n  " << it.summary << "\n\n" << it.details << "\n";
}

std::string environment(const char* name)
{
    const char* value = std::getenv(name);
    return value == nullptr ? std::string() : std::string(value);
}

std::string option_or(const cxxopts::ParseResult& parsed,
                      const std::string& name, const std::string& fallback)
{
    return parsed.count(name) > 0 ? parsed[name].as<std::string>() : fallback;
}

std::vector<endpoint> read_control(const cxxopts::ParseResult& parsed)
{
    auto found = parse_endpoints(
        option_or(parsed, "control", environment("LAGOONQUAY_CONTROL")));
    if (!found)
        throw usage_error{found.error().detail};
    return std::move(found).value();
}

std::string read_token(const cxxopts::ParseResult& parsed)
{
    const auto path = option_or(parsed, "token-file", "");
    if (path.empty())
        return {};
    auto token = read_token_file(path);
    if (!token)
        throw usage_error{token.error().detail};
    return std::move(token).value();
}

command_id draw_command_id()
{
    std::string id = "ctl-";
    id.append(std::to_string(draw_incarnation().number()));
    return command_id(std::move(id));
}

operator_arguments read_arguments(const cxxopts::ParseResult& parsed,
                                  const words& given)
{
    const auto* entry = find_command(given.front());
    if (entry == nullptr)
        throw usage_error{"'" + given.front() + "' is not a command"};
    const words operands(given.begin() + 1, given.end());
    if (operands.size() < entry->operand_count ||
        (operands.size() > entry->operand_count && !entry->takes_more))
        throw usage_error{"usage: " + std::string(tool_name) + " " +
                          std::string(entry->name) + " " +
                          std::string(entry->operands)};
    operator_arguments it;
    it.action = entry->read(operands);
    it.control = read_control(parsed);
    it.token = read_token(parsed);
    it.author = option_or(parsed, "author", environment("USER"));
    it.id = parsed.count("command-id") > 0
                ? command_id(parsed["command-id"].as<std::string>())
                : draw_command_id();
    if (parsed.count("expect") > 0)
        it.expected = version_number(parsed["expect"].as<std::uint64_t>());
    it.json = parsed.count("json") > 0;
    it.wait = parsed.count("no-wait") == 0;
    it.force = parsed.count("force") > 0;
    const bool needs_control =
        !std::holds_alternative<dump_process>(it.action) &&
        !std::holds_alternative<explain_request>(it.action);
    if (needs_control && it.control.empty())
        throw usage_error{"--control or $LAGOONQUAY_CONTROL is required"};
    return it;
}

parsed_operator_arguments help_for(const cxxopts::Options& options,
                                   const words& given)
{
    if (given.size() < 2)
    {
        print_help(options);
        return {std::nullopt, exit_code::ok};
    }
    const auto* entry = find_command(given[1]);
    if (entry == nullptr)
        throw usage_error{"'" + given[1] + "' is not a command"};
    print_help(*entry);
    return {std::nullopt, exit_code::ok};
}

parsed_operator_arguments fail_usage(const std::string& detail)
{
    std::cerr << tool_name << ": " << detail << "\n";
    return {std::nullopt, exit_code::usage};
}

} // namespace

parsed_operator_arguments parse_operator_arguments(int argc,
                                                   const char* const* argv)
{
    auto options = make_options();
    try
    {
        const auto parsed = options.parse(argc, argv);
        words given;
        if (parsed.count("words") > 0)
            given = parsed["words"].as<words>();
        if (parsed.count("version") > 0)
        {
            print_version(std::string(tool_name));
            return {std::nullopt, exit_code::ok};
        }
        if (parsed.count("help") > 0)
            given.insert(given.begin(), "help");
        if (given.empty())
            return fail_usage("a command is required; see --help");
        if (given.front() == "help")
            return help_for(options, given);
        return {read_arguments(parsed, given), exit_code::ok};
    }
    catch (const usage_error& e)
    {
        return fail_usage(e.detail);
    }
    catch (const cxxopts::exceptions::exception& e)
    {
        return fail_usage(e.what());
    }
}

} // namespace lagoonquay
