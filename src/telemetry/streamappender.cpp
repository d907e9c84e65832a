#include "telemetry/streamappender.h"

#include <algorithm>
#include <climits>
#include <utility>

#include <poll.h>
#include <unistd.h>

// Its macro opens a namespace of log4cxx and must stand outside all others.
using Egretpath::StreamAppender;
IMPLEMENT_LOG4CXX_OBJECT(StreamAppender)

namespace Egretpath
{

namespace
{

/// Lines kept while the stream is full: some seconds of what a node says of itself, at 300 bytes about 60 KB.
constexpr std::size_t KeptLines = 200;
/// A pipe that is ready takes this much in one piece and at once; a longer line could still block.
constexpr std::size_t LongestLine = PIPE_BUF;

bool takesNow(int descriptor)
{
    pollfd entry{descriptor, POLLOUT, 0};
    return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}

StreamAppender::StreamAppender()
    : StreamAppender(STDOUT_FILENO, nullptr)
{
}

StreamAppender::StreamAppender(int descriptor, const log4cxx::LayoutPtr &layout)
    : descriptor_(descriptor)
{
    setLayout(layout);
}

void StreamAppender::append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool)
{
    std::string line;
    getLayout()->format(line, event, pool);
    if (line.size() > LongestLine) {
        line.resize(LongestLine - 1);
        line += '\n';
    }
    put(std::move(line));
}

void StreamAppender::put(std::string line)
{
    writeKept();
    if (kept_.empty() && write(line)) {
        return;
    }
    if (kept_.size() < KeptLines) {
        kept_.push_back(std::move(line));
        return;
    }
    ++dropped_;
    ++untold_;
}

void StreamAppender::writeKept()
{
    while (!kept_.empty() && write(kept_.front())) {
        kept_.pop_front();
    }
    if (kept_.empty() && untold_ > 0) {
        const std::string line = "WARN event=lines-dropped count=" + std::to_string(untold_) + " why=\"output full\"\n";
        if (write(line)) {
            untold_ = 0;
        }
    }
}

bool StreamAppender::write(const std::string &line)
{
    return takesNow(descriptor_) && ::write(descriptor_, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

}
