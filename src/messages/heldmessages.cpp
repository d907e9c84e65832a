#include "messages/heldmessages.h"

#include <utility>

#include "core/currenttime.h"

namespace Egretpath
{

HeldMessages::HeldMessages(Bytes limit, EventLog &log, Metrics &metrics)
    : budget_(limit)
    , log_(log)
    , metrics_(metrics)
{
}

std::unique_ptr<HeldMessage> HeldMessages::begin(std::function<void()> onGivenUp)
{
    const MessageId id = budget_.begin(currentTime());
    auto message = std::make_unique<HeldMessage>(weak_from_this(), id);
    givenUpListeners_.emplace(id, [message = message.get(), onGivenUp = std::move(onGivenUp)] {
        message->isGivenUp_ = true;
        onGivenUp();
    });
    return message;
}

std::optional<Failure> HeldMessages::rejection(Bytes size)
{
    if (!budget_.canEverHold(size)) {
        return notRun(Reason::TooLarge, "the request body is over the memory that the node has for bodies");
    }
    if (!budget_.canMakeRoom(size)) {
        metrics_.count("egretpath_messages_refused_total");
        return noRoom();
    }
    return std::nullopt;
}

Failure HeldMessages::noRoom() const
{
    return notRun(Reason::Overloaded, "the node holds too many bodies", budget_.returnDelay(currentTime()));
}

bool HeldMessages::grow(MessageId id, Bytes size)
{
    const MessageBudget::Room room = budget_.grow(id, size, currentTime());
    memoryReturn_.recordHeld(budget_.held(), budget_.limit());
    for (const MessageId givenUp : room.givenUp) {
        const auto listener = givenUpListeners_.extract(givenUp);
        listener.mapped()();
        metrics_.count("egretpath_messages_given_up_total");
    }
    if (!room.isGranted) {
        metrics_.count("egretpath_messages_refused_total");
    }
    if (!room.givenUp.empty() || !room.isGranted) {
        StructuredLine line("messages");
        line.add("held_bytes", budget_.held().value()).add("limit_bytes", budget_.limit().value());
        line.add("given_up", std::uint64_t{room.givenUp.size()})
            .add("refused", std::uint64_t{room.isGranted ? 0U : 1U});
        if (log_.admitsDecision(currentTime(), DecisionKind::Failure)) {
            log_.decision(line);
        }
    }
    return room.isGranted;
}

void HeldMessages::end(MessageId id)
{
    givenUpListeners_.erase(id);
    budget_.end(id, currentTime());
    memoryReturn_.recordHeld(budget_.held(), budget_.limit());
}

HeldMessage::HeldMessage(std::weak_ptr<HeldMessages> messages, MessageId id)
    : messages_(std::move(messages))
    , id_(id)
{
}

HeldMessage::~HeldMessage()
{
    if (const auto messages = messages_.lock()) {
        messages->end(id_);
    }
}

bool HeldMessage::grow(Bytes size)
{
    if (isGivenUp_) {
        return false;
    }
    const auto messages = messages_.lock();
    return !messages || messages->grow(id_, size);
}

void HeldMessage::progress(Bytes size)
{
    if (const auto messages = messages_.lock(); messages && !isGivenUp_) {
        messages->budget_.progress(id_, size, currentTime());
    }
}

bool HeldMessage::stopYielding()
{
    if (const auto messages = messages_.lock(); messages && !isGivenUp_) {
        messages->budget_.stopYielding(id_);
    }
    return !isGivenUp_;
}

}
