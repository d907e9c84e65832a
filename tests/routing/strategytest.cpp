#include "routing/routingstrategy.h"

#include <map>

#include <catch2/catch.hpp>

#include "testcandidates.h"

using namespace Egretpath;

namespace
{

struct Chooser
{
    std::vector<Candidate> candidates;
    LoadView view;
    Random random{1};

    std::vector<const Candidate *> pointers() const
    {
        std::vector<const Candidate *> result;
        for (const Candidate &candidate : candidates) {
            result.push_back(&candidate);
        }
        return result;
    }

    std::map<std::string, int> counts(std::string_view name, int calls, TimePoint now = Start)
    {
        auto strategy = std::move(makeStrategy(name).value());
        std::map<std::string, int> result;
        const std::vector<const Candidate *> all = pointers();
        for (int call = 0; call < calls; ++call) {
            ++result[all.at(strategy->choose(all, view, random, now))->upstream.value()];
        }
        return result;
    }
};

Chooser threeAlike()
{
    return {{candidateAt("one", "a"), candidateAt("two", "a"), candidateAt("three", "a")}, LoadView{}};
}

}

TEST_CASE("an unknown strategy is answered by the names that exist")
{
    const StrategyResult made = makeStrategy("fastest");
    REQUIRE_FALSE(made);
    CHECK(made.error().name == "fastest");
    CHECK(made.error().allowed == strategyNames());
    for (const std::string_view name : strategyNames()) {
        CHECK(makeStrategy(name).value()->name() == name);
    }
}

TEST_CASE("round robin follows the weights exactly and interleaves")
{
    Chooser chooser = threeAlike();
    chooser.candidates[0].weight = 2.0;
    const auto counts = chooser.counts("round-robin", 8);
    CHECK(counts.at("one") == 4);
    CHECK(counts.at("two") == 2);
    CHECK(counts.at("three") == 2);
}

TEST_CASE("random, two-choices and egretpath draw by weight")
{
    for (const char *name : {"random", "two-choices", "egretpath"}) {
        Chooser chooser = threeAlike();
        for (int extra = 0; extra < 9; ++extra) {
            chooser.candidates.push_back(candidateAt(numbered("extra", extra), "a"));
        }
        chooser.candidates[0].weight = 0.01;
        INFO(name);
        CHECK(chooser.counts(name, 2000)["one"] < 30);
    }
}

TEST_CASE("rules that look at load avoid the upstream with calls in flight")
{
    for (const char *name : {"least-in-flight", "two-choices", "hot-cold", "egretpath"}) {
        Chooser chooser = threeAlike();
        for (int call = 0; call < 8; ++call) {
            chooser.view.onSent(UpstreamName{"one"}, Start);
        }
        INFO(name);
        CHECK(chooser.counts(name, 300)["one"] == 0);
    }
}

TEST_CASE("a failing upstream that looks idle does not attract calls")
{
    // One of three upstreams answers every call at once with an error. Least connections sends it a third and
    // more of the calls, as it never has one in flight.
    Chooser chooser = threeAlike();
    for (const char *name : {"two", "three"}) {
        answerCalls(chooser.view, name, Milliseconds{5}, reportOf(5), 20);
        chooser.view.onSent(UpstreamName{name}, Start);
    }
    chooser.view.onSent(UpstreamName{"one"}, Start);
    chooser.view.onErrorAnswer(UpstreamName{"one"}, reportOf(0, 100), Start);
    CHECK(chooser.counts("least-in-flight", 100)["one"] == 100);
    CHECK(chooser.counts("egretpath", 100)["one"] == 0);
}

TEST_CASE("a new incarnation gets its share in a slow ramp")
{
    // An upstream is replaced. Its caches are empty and its report says idle, so a rule that follows
    // reports buries it in calls and they are all late.
    Chooser chooser = threeAlike();
    for (int extra = 0; extra < 9; ++extra) {
        chooser.candidates.push_back(candidateAt(numbered("extra", extra), "a"));
    }
    chooser.view.onReplaced(UpstreamName{"one"}, Incarnation{2}, Start);
    const int atFirst = chooser.counts("egretpath", 6000, Start)["one"];
    const int atHalf = chooser.counts("egretpath", 6000, Start + Milliseconds{2500})["one"];
    const int atEnd = chooser.counts("egretpath", 6000, Start + std::chrono::seconds{20})["one"];
    CHECK(atFirst > 0);
    CHECK(atFirst * 2 < atHalf);
    CHECK(atHalf < atEnd);
}
