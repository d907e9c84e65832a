#include "telemetry/streamappender.h"

#include <algorithm>
#include <climits>
#include <utility>

#include <poll.h>
#include <unistd.h>

// The macro opens a namespace of log4cxx and must be used outside of all namespaces.
using Egretpath::StreamAppender;
IMPLEMENT_LOG4CXX_OBJECT(StreamAppender)

namespace Egretpath
{

namespace
{

/// Maximum number of lines that are buffered while the stream is full: some seconds of a node's log. At 300 bytes a
/// line they take about 60 KB.
constexpr std::size_t MaxBufferedLines = 200;
/// A pipe that is ready for writing takes a line of this size as one piece and without blocking. A longer line could
/// still block.
constexpr std::size_t MaxLineSize = PIPE_BUF;

bool isWritable(int descriptor)
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
    if (line.size() > MaxLineSize) {
        line.resize(MaxLineSize - 1);
        line += '\n';
    }
    writeOrBuffer(std::move(line));
}

void StreamAppender::writeOrBuffer(std::string line)
{
    flushBuffer();
    if (bufferedLines_.empty() && write(line)) {
        return;
    }
    if (bufferedLines_.size() < MaxBufferedLines) {
        bufferedLines_.push_back(std::move(line));
        return;
    }
    ++droppedLines_;
    ++unreportedDrops_;
}

void StreamAppender::flushBuffer()
{
    while (!bufferedLines_.empty() && write(bufferedLines_.front())) {
        bufferedLines_.pop_front();
    }
    if (bufferedLines_.empty() && unreportedDrops_ > 0) {
        const std::string line =
            "WARN event=lines-dropped count=" + std::to_string(unreportedDrops_) + " why=\"output full\"\n";
        if (write(line)) {
            unreportedDrops_ = 0;
        }
    }
}

bool StreamAppender::write(const std::string &line)
{
    return isWritable(descriptor_)
        && ::write(descriptor_, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

}
