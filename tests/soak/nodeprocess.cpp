#include "soak/nodeprocess.h"

#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "core/currenttime.h"

namespace Egretpath
{

namespace
{

constexpr mode_t LogMode = 0644;
constexpr int ExitNotStarted = 127;

/// The time of day as the node writes it, with microseconds.
std::string timeOfDay()
{
    using std::chrono::microseconds;
    constexpr microseconds::rep MicrosecondsPerSecond = 1'000'000;
    constexpr int FractionDigits = 6;
    const auto sinceEpoch =
        std::chrono::duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    const std::time_t seconds = sinceEpoch / MicrosecondsPerSecond;
    std::tm fields{};
    gmtime_r(&seconds, &fields);
    std::ostringstream text;
    text << std::put_time(&fields, "%Y-%m-%dT%H:%M:%S.") << std::setw(FractionDigits) << std::setfill('0')
         << sinceEpoch % MicrosecondsPerSecond << 'Z';
    return std::move(text).str();
}

/// Runs in the child process and replaces it by the program. May use only calls that are safe after fork().
[[noreturn]] void executeProgram(const char *log, const std::array<char *, 4> &arguments)
{
    // The kernel kills the node when the soak exits, even if the soak is killed, because no other process knows the
    // node's id.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log, O_WRONLY | O_CREAT | O_APPEND, LogMode);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    // Inherited listening sockets would keep the soak's addresses in use.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(arguments[0], arguments.data());
    _exit(ExitNotStarted);
}

}

NodeProcess::NodeProcess(std::filesystem::path program, std::filesystem::path settings, std::filesystem::path log)
    : program_(std::move(program))
    , settings_(std::move(settings))
    , log_(std::move(log))
{
}

NodeProcess::~NodeProcess()
{
    if (isRunning()) {
        signal(SIGKILL);
        waitpid(process_, nullptr, 0);
    }
}

void NodeProcess::start()
{
    std::string program = program_.string();
    std::string option = "--settings";
    std::string settings = settings_.string();
    const std::string log = log_.string();
    const std::array<char *, 4> arguments{program.data(), option.data(), settings.data(), nullptr};
    startedAt_ = currentTime();
    process_ = fork();
    if (process_ == 0) {
        executeProgram(log.c_str(), arguments);
    }
    if (process_ < 0) {
        process_ = 0;
        throw std::runtime_error(program + ": " + std::strerror(errno));
    }
    ++startCount_;
    writeLogLine("process-start process=" + std::to_string(process_));
}

void NodeProcess::signal(int number)
{
    if (!isRunning()) {
        writeLogLine("signal number=" + std::to_string(number) + " sent=no why=\"the process does not run\"");
        return;
    }
    const auto age = std::chrono::duration_cast<std::chrono::microseconds>(currentTime() - startedAt_);
    kill(process_, number);
    writeLogLine("signal number=" + std::to_string(number) + " sent=yes process=" + std::to_string(process_)
                 + " since_start_us=" + std::to_string(age.count()));
}

void NodeProcess::recordExit(std::string_view reason)
{
    writeLogLine("process-exit process=" + std::to_string(process_) + " reason=\"" + std::string(reason) + '"');
    process_ = 0;
}

void NodeProcess::writeLogLine(const std::string &event) const
{
    std::ofstream log(log_, std::ios::app);
    log << timeOfDay() << " SOAK event=" << event << '\n';
    if (!log.flush()) {
        std::cerr << log_.string() << ": can't be written\n";
    }
}

ProcessExit NodeProcess::reapChild()
{
    int status = 0;
    const pid_t process = waitpid(-1, &status, WNOHANG);
    if (process <= 0) {
        return {};
    }
    if (WIFSIGNALED(status)) {
        return {process, "signal " + std::to_string(WTERMSIG(status)), false};
    }
    return {process, "exit code " + std::to_string(WEXITSTATUS(status)), WEXITSTATUS(status) == 0};
}

}
