//! A program under test, run as a process of its own.
#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace lagoonquay
{

//! Starts a program and ends it by its id. Not thread-safe.
class child_process
{
public:
    //! @param program   name in the build's bin folder.
    //! @param log_path  file that its output is appended to.
    child_process(const std::string& program,
                  const std::vector<std::string>& arguments,
                  const std::string& log_path);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&&) = delete;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    //! Sends a signal, such as SIGTERM, SIGKILL, SIGSTOP or SIGCONT.
    void signal(int number) const;

    //! Waits for the end.
    //! @return the exit code, or 128 plus the signal that ended it.
    int wait();

    //! @return whether the process has not ended.
    bool alive();

    pid_t id() const noexcept;

private:
    pid_t id_ = 0;
    std::optional<int> status_;
};

} // namespace lagoonquay
