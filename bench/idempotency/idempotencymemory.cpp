// Prints what the memories behind at-most-once calls cost, as lines of `name value unit`.

#include <chrono>
#include <functional>
#include <iostream>
#include <string>

#include <malloc.h>

#include "idempotency/keyledger.h"
#include "idempotency/latenessguard.h"
#include "idempotency/requestledger.h"

using namespace Egretpath;

namespace
{

constexpr std::size_t Counts[] = {1'000, 10'000, 100'000};
constexpr std::size_t AnswerBody = 512;
const TimePoint Start{std::chrono::hours(1)};
const WallTime WallStart{std::chrono::hours(500'000)};

TryId tryId(std::uint64_t sequence)
{
    return TryId{IngressCallId{Incarnation(1), CallSequence(sequence)}, TryNumber(1)};
}

std::size_t heapInUse()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// Fills one structure with @p count entries and prints heap bytes and processor time for each of them.
void measure(const std::string &name, std::size_t count, const std::function<void(std::size_t)> &fill)
{
    const std::size_t before = heapInUse();
    const auto begin = std::chrono::steady_clock::now();
    fill(count);
    const std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - begin;
    const auto entries = static_cast<double>(count);
    const auto bytes = static_cast<double>(heapInUse() - before);
    std::cout << name << '.' << count << ".memory " << bytes / entries << " bytes-each\n";
    std::cout << name << '.' << count << ".time " << spent.count() / entries << " ns-each\n";
}

void fillKeys(KeyLedger &ledger, std::size_t count, std::size_t bodySize)
{
    for (std::size_t index = 1; index <= count; ++index) {
        const KeyId key{stampOf(WallStart + Milliseconds(index % 1000)), Digest{0, index}};
        (void)ledger.begin(key, Digest{1, index}, tryId(index), Start, WallStart);
        (void)ledger.handedOver(key, tryId(index));
        ledger.finished(key, tryId(index), HeldAnswer{200, {}, std::string(bodySize, 'a')}, Start);
    }
}

void measureKeys(const std::string &name, std::size_t count, std::size_t bodySize, Bytes answers)
{
    KeyLedgerLimits limits;
    limits.answerBytes = answers;
    KeyLedger ledger(limits);
    measure(name, count, [&ledger, bodySize](std::size_t entries) { fillKeys(ledger, entries, bodySize); });
}

void measureTries(std::size_t count)
{
    RequestLedger ledger({count, 1});
    ledger.introduce(Incarnation(1), CallSequence(1));
    measure("try", count, [&ledger](std::size_t entries) {
        for (std::size_t index = 1; index <= entries; ++index) {
            (void)ledger.admit(tryId(index));
        }
    });
}

void measureIngresses(std::size_t count)
{
    RequestLedger ledger({1, count});
    measure("ingress", count, [&ledger](std::size_t entries) {
        for (std::size_t index = 1; index <= entries; ++index) {
            ledger.introduce(Incarnation(index), CallSequence(1));
        }
    });
}

void measurePeers(std::size_t count)
{
    LatenessLimits limits;
    limits.peers = count;
    LatenessGuard guard(limits);
    measure("lateness-peer", count, [&guard](std::size_t entries) {
        for (std::size_t index = 1; index <= entries; ++index) {
            (void)guard.observe(Incarnation(index), Duration{0}, Start);
        }
    });
}

}

int main()
{
    for (const std::size_t count : Counts) {
        measureKeys("key-without-answer", count, AnswerBody, Bytes(0));
        measureKeys("key-with-answer-512", count, AnswerBody, Bytes(1ULL << 30U));
        measureTries(count);
        measureIngresses(count);
        measurePeers(count);
    }
    return 0;
}
