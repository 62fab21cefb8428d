#include "child_process.hpp"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace lagoonquay
{

namespace
{

constexpr int signal_base = 128;
constexpr mode_t log_mode = 0644;

int to_exit_code(int status) noexcept
{
    if (WIFEXITED(status))
        return WEXITSTATUS(status);
    return signal_base + WTERMSIG(status);
}

} // namespace

child_process::child_process(const std::string& program,
                             const std::vector<std::string>& arguments,
                             const std::string& log_path)
{
    const std::string path = std::string(LAGOONQUAY_BIN_DIR) + "/" + program;
    std::vector<std::string> words{path};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(words.size() + 1);
    for (auto& it : words)
        argv.push_back(it.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    for (const int stream : {STDOUT_FILENO, STDERR_FILENO})
        posix_spawn_file_actions_addopen(&actions, stream, log_path.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND,
                                         log_mode);
    const int failed = posix_spawn(&id_, path.c_str(), &actions, nullptr,
                                   argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
        throw std::runtime_error("cannot start " + path);
}

child_process::~child_process()
{
    if (id_ == 0 || status_)
        return;
    signal(SIGKILL);
    wait();
}

child_process::child_process(child_process&& other) noexcept
    : id_(other.id_), status_(other.status_)
{
    other.id_ = 0;
}

void child_process::signal(int number) const
{
    ::kill(id_, number);
}

int child_process::wait()
{
    if (status_)
        return *status_;
    int status = 0;
    ::waitpid(id_, &status, 0);
    status_ = to_exit_code(status);
    return *status_;
}

bool child_process::alive()
{
    if (status_)
        return false;
    int status = 0;
    if (::waitpid(id_, &status, WNOHANG) == 0)
        return true;
    status_ = to_exit_code(status);
    return false;
}

pid_t child_process::id() const noexcept
{
    return id_;
}

} // namespace lagoonquay
