#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <boost/asio/awaitable.hpp>

#include "egress/answerstream.h"
#include "egress/egressrole.h"
#include "http/httpclientcall.h"
#include "quarantine/requestfingerprint.h"

namespace Egretpath
{

/// The request whose answer is read.
struct AnsweredRequest
{
    RequestId id;
    RequestContent content;
    TimePoint deadline;
    /// Whether its answer is passed on while it is read unless it is small; see RequestKind::Download.
    bool isDownload = false;
};

/// An answer that was read completely. A large one is still on its way to the receiver.
using ReadAnswer = std::variant<CompleteAnswer, std::shared_ptr<AnswerStream>>;

/// Reads the upstream's answer to one request and checks it. A large answer is passed on while it is read, but not
/// before it was checked, and not one with a server error: until then, the request may be tried elsewhere.
///
/// Load pattern: an upstream in trouble sends bytes without end for all of its requests at once. While the node has no
/// room for more of them, each answer is passed on as it comes, so that its reader sets the pace.
///
/// Preconditions: the references and the views in the request outlive the object. Thread safety: none.
class AnswerReader
{
public:
    AnswerReader(EgressRole &role, HttpClientCall &call, const AnsweredRequest &request,
                 std::shared_ptr<AnswerReceiver> receiver);

    /// Reads the answer. Calls @p onBegan when its head has arrived. Errors: those of HttpClientCall; what the answer
    /// says of itself, such as NotRun with Shed; Cancelled if the receiver takes no more.
    boost::asio::awaitable<Result<ReadAnswer>> read(std::function<void()> onBegan);
    /// Ends the passing on. The reading ends with the HttpClientCall.
    void cancel();
    /// Whether the answer was passed on from its first chunk.
    [[nodiscard]] bool hasStream() const { return stream_ != nullptr; }

private:
    boost::asio::awaitable<Result<ReadAnswer>> readOwn(HttpResponseHead head, UpstreamAnswerMetadata metadata);
    /// Reads the body of an answer that is not passed on, and drops it. Errors: BadAnswer if it takes longer than
    /// @p maxTime or seems to have no end; the connection is closed then.
    boost::asio::awaitable<Result<void>> dropBody(Duration maxTime);
    /// Closes the connection, since its bytes seem to have no end, and returns the failure of the request.
    [[nodiscard]] Failure giveUpEndless(std::string detail);
    /// Passes on an answer that begins with @p body and reads the rest of it.
    boost::asio::awaitable<Result<ReadAnswer>> streamAnswer(HttpResponseHead head, std::string body);
    boost::asio::awaitable<void> pauseReading();
    /// Whether an answer of which @p size bytes were read is passed on before it is complete: it is too large to be
    /// sent in one message, or the node holds too much to read more of it.
    [[nodiscard]] bool isPassedOnEarly(const HttpResponseHead &head, std::size_t size) const;
    [[nodiscard]] bool isLarge(const HttpResponseHead &head, std::size_t size) const;
    /// Applies what the upstream says of itself. Returns why the answer does not answer the request, or nothing.
    [[nodiscard]] std::optional<Failure> check(std::uint16_t status, const UpstreamAnswerMetadata &metadata);
    /// Records that the upstream sent its answer completely.
    void recordAnswer(std::uint16_t status);

    EgressRole &role_;
    HttpClientCall &call_;
    AnsweredRequest request_;
    std::shared_ptr<AnswerReceiver> receiver_;
    /// What was read of the answer before it is passed on.
    HeldAnswer held_;
    /// Null until the answer is passed on.
    std::shared_ptr<AnswerStream> stream_;
    /// How much longer the reading may pause for the receiver.
    Duration pauseLeft_;
};

}
