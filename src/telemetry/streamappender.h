#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include <log4cxx/appenderskeleton.h>

namespace Egretpath
{

/// The macros below use this name without its namespace.
namespace helpers = log4cxx::helpers;

/// Writes log lines to a stream and never waits for the reader of the stream.
///
/// Guards against a log collector that stops reading: a write to the full pipe would block the thread, and with it
/// every request of the node. A line is written only if the stream accepts it without blocking. While the stream is
/// full, a bounded number of lines is buffered; they are written in their order once the stream accepts lines again.
/// Further lines are dropped, and a log line reports their count. Thread safety: as the appenders of log4cxx. Errors:
/// if the stream fails, lines are lost; they are counted as well.
class StreamAppender final : public log4cxx::AppenderSkeleton
{
public:
    DECLARE_LOG4CXX_OBJECT(StreamAppender)
    BEGIN_LOG4CXX_CAST_MAP()
    LOG4CXX_CAST_ENTRY(StreamAppender)
    LOG4CXX_CAST_ENTRY_CHAIN(AppenderSkeleton)
    END_LOG4CXX_CAST_MAP()

    /// Writes to standard output. Required by log4cxx, which can create appenders by their class names.
    StreamAppender();
    /// Writes to @p descriptor. Precondition: @p descriptor stays open.
    StreamAppender(int descriptor, const log4cxx::LayoutPtr &layout);

    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) override;
    void close() override { }
    [[nodiscard]] bool requiresLayout() const override { return true; }
    /// The count of lines that were dropped since the start.
    [[nodiscard]] std::uint64_t dropped() const { return droppedLines_; }

private:
    void writeOrBuffer(std::string line);
    void flushBuffer();
    [[nodiscard]] bool write(const std::string &line);

    int descriptor_;
    std::deque<std::string> bufferedLines_;
    std::uint64_t droppedLines_ = 0;
    std::uint64_t unreportedDrops_ = 0;
};

}
