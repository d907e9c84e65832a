#include "telemetry/streamappender.h"

#include <array>
#include <chrono>
#include <string>

#include <fcntl.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

/// A pipe that is read only when the test calls readAll().
class Pipe
{
public:
    Pipe()
    {
        REQUIRE(pipe(ends_.data()) == 0);
        fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    }
    ~Pipe()
    {
        close(ends_[0]);
        close(ends_[1]);
    }
    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    [[nodiscard]] int writeEnd() const { return ends_[1]; }
    [[nodiscard]] std::string readAll() const
    {
        std::string text;
        std::array<char, 4096> buffer{};
        for (ssize_t count = 1; count > 0;) {
            count = read(ends_[0], buffer.data(), buffer.size());
            text.append(buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
        }
        return text;
    }

private:
    std::array<int, 2> ends_{};
};

/// A logger that writes to the pipe through the tested appender.
class PipeLog
{
public:
    explicit PipeLog(const Pipe &pipe)
        : appender(std::make_shared<StreamAppender>(pipe.writeEnd(), std::make_shared<log4cxx::PatternLayout>("%m%n")))
        , logger(log4cxx::Logger::getLogger("stream-appender-test"))
    {
        logger->setAdditivity(false);
        logger->addAppender(appender);
        logger->setLevel(log4cxx::Level::getInfo());
    }
    ~PipeLog() { logger->removeAppender(appender); }
    PipeLog(const PipeLog &) = delete;
    PipeLog &operator=(const PipeLog &) = delete;

    std::shared_ptr<StreamAppender> appender;
    log4cxx::LoggerPtr logger;
};

}

// Guards against requests that hang and time out because of the log. If the collector of a VM's logs stops reading, the
// pipe to the collector fills up. A node that waits in the write of a log line blocks its only thread, and with it all
// requests of the VM, although the node and its upstream are healthy.
TEST_CASE("a reader that stops reading does not block logging")
{
    const Pipe pipe;
    const PipeLog log(pipe);
    const std::string text(400, 'x');
    const auto start = std::chrono::steady_clock::now();
    constexpr int Lines = 2000;
    for (int line = 0; line < Lines; ++line) {
        LOG4CXX_INFO(log.logger, std::to_string(line) + " " + text);
    }
    // A write that blocks never returns, so the size of the bound does not matter.
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(20));
    CHECK(log.appender->dropped() > 0);

    // The reader reads again: the buffered lines come first in their order, then the count of dropped lines.
    const std::string first = pipe.readAll();
    CHECK(first.starts_with("0 x"));
    LOG4CXX_INFO(log.logger, "after");
    std::string rest = pipe.readAll();
    LOG4CXX_INFO(log.logger, "last");
    rest += pipe.readAll();
    CHECK(rest.find("after\n") != std::string::npos);
    CHECK(rest.find("event=lines-dropped count=" + std::to_string(log.appender->dropped())) != std::string::npos);
    CHECK(rest.ends_with("last\n"));
}

TEST_CASE("a line that is too long to be written at once is cut")
{
    const Pipe pipe;
    const PipeLog log(pipe);
    LOG4CXX_INFO(log.logger, std::string(100'000, 'x'));
    const std::string text = pipe.readAll();
    CHECK(text.size() == 4096);
    CHECK(text.ends_with("x\n"));
}
