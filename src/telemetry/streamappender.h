#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include <log4cxx/appenderskeleton.h>

namespace Egretpath
{

/// The macros below name it without its namespace.
namespace helpers = log4cxx::helpers;

/// Writes log lines to a stream without ever waiting for its reader.
///
/// Guards against a collector that stops reading: a pipe that is full would hold the writing thread, and with it every
/// request of the node. A line is written only when the stream takes it at once. Lines that find it full are kept up to
/// a bound and written when it takes lines again, in their order; those beyond it are counted, and a line says so.
/// Thread safety: as log4cxx' appenders. Errors: a stream that fails loses its lines; they are counted too.
class StreamAppender final : public log4cxx::AppenderSkeleton
{
public:
    DECLARE_LOG4CXX_OBJECT(StreamAppender)
    BEGIN_LOG4CXX_CAST_MAP()
    LOG4CXX_CAST_ENTRY(StreamAppender)
    LOG4CXX_CAST_ENTRY_CHAIN(AppenderSkeleton)
    END_LOG4CXX_CAST_MAP()

    /// For log4cxx, which wants to make appenders by their names; writes to standard output.
    StreamAppender();
    /// Precondition: @p descriptor stays open.
    StreamAppender(int descriptor, const log4cxx::LayoutPtr &layout);

    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &pool) override;
    void close() override { }
    [[nodiscard]] bool requiresLayout() const override { return true; }
    /// Lines that were given up since the start.
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

private:
    void put(std::string line);
    void writeKept();
    [[nodiscard]] bool write(const std::string &line);

    int descriptor_;
    std::deque<std::string> kept_;
    std::uint64_t dropped_ = 0;
    std::uint64_t untold_ = 0;
};

}
