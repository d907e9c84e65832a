#pragma once

#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

#include "core/memoryreturn.h"
#include "core/verdict.h"
#include "messages/messagebudget.h"
#include "telemetry/eventlog.h"
#include "telemetry/metrics.h"

namespace Egretpath
{

class HeldMessage;

/// The messages that one node holds at its ingress and at its egress together. MessageBudget decides how many bytes
/// they may have; this class logs and counts its decisions and tells the messages that are given up.
///
/// Preconditions: references outlive the object. Thread safety: none. Errors: none.
class HeldMessages : public std::enable_shared_from_this<HeldMessages>
{
public:
    HeldMessages(Bytes limit, EventLog &log, Metrics &metrics);

    /// Returns a message without bytes. @p onGivenUp is called at most once, if it is given up to make room for
    /// another. It has to free the bytes of the message at once, and must not destroy the HeldMessage.
    [[nodiscard]] std::unique_ptr<HeldMessage> begin(std::function<void()> onGivenUp);
    /// Returns why a message of @p size is refused before it comes, or nothing. @p size may be announced only, so
    /// nothing is reserved.
    [[nodiscard]] std::optional<Failure> rejection(Bytes size);
    /// The refusal of a message that finds no room.
    [[nodiscard]] Failure noRoom() const;
    [[nodiscard]] const MessageBudget &budget() const { return budget_; }
    /// See MemoryReturn.
    void returnRestOfMemory() { memoryReturn_.returnRest(); }

private:
    friend class HeldMessage;

    [[nodiscard]] bool grow(MessageId id, Bytes size);
    void end(MessageId id);

    MessageBudget budget_;
    EventLog &log_;
    Metrics &metrics_;
    std::unordered_map<MessageId, std::function<void()>> givenUpListeners_;
    MemoryReturn memoryReturn_;
};

/// One message that counts in HeldMessages until it is destroyed. It may outlive HeldMessages and counts nowhere then.
/// Thread safety: none.
class HeldMessage
{
public:
    HeldMessage(std::weak_ptr<HeldMessages> messages, MessageId id);
    ~HeldMessage();
    HeldMessage(const HeldMessage &) = delete;
    HeldMessage &operator=(const HeldMessage &) = delete;

    /// Counts @p size bytes more. Returns false if there is no room for them, or the message was given up.
    [[nodiscard]] bool grow(Bytes size);
    /// The client of the message has taken @p size bytes.
    void progress(Bytes size);
    /// The message waits for its client no more. Returns false if it was given up before.
    [[nodiscard]] bool stopYielding();
    [[nodiscard]] bool isGivenUp() const { return isGivenUp_; }

private:
    friend class HeldMessages;

    std::weak_ptr<HeldMessages> messages_;
    MessageId id_;
    bool isGivenUp_ = false;
};

}
