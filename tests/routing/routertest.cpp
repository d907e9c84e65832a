#include "routing/router.h"

#include <catch2/catch.hpp>

#include "testcandidates.h"

using namespace Egretpath;

namespace
{

struct Fixture
{
    std::vector<Candidate> candidates{
        candidateAt("near-one", "a"),
        candidateAt("near-two", "a"),
        candidateAt("next-one", "b"),
        candidateAt("next-two", "b"),
        candidateAt("far-one", "c", "southmere"),
    };
    std::vector<UpstreamName> excluded;
    std::vector<RegionSpill> spill;
    LoadView view;
    Router router{Location{RegionName{"northmere"}, ZoneName{"a"}}, std::move(makeStrategy("egretpath").value()), view,
                  Random{1}};

    Result<Choice> choose(TimePoint now = Start) { return router.choose({candidates, excluded, spill, now}); }

    void refuse(const char *name, Milliseconds retryAfter, TimePoint now = Start)
    {
        view.onSent(UpstreamName{name}, now);
        view.onRefused(UpstreamName{name}, Reason::Overloaded, retryAfter, std::nullopt, now);
    }

    void allowSpill() { spill = {{RegionName{"southmere"}, 1.0}}; }
};

}

TEST_CASE_METHOD(Fixture, "without evidence calls stay in the zone")
{
    for (int call = 0; call < 50; ++call) {
        const Choice choice = choose().value();
        CHECK(choice.reason == ChoiceReason::OwnZone);
        CHECK(choice.link == LinkKind::InZone);
        CHECK(choice.considered == 2);
        CHECK(choice.alternativeCount == 1);
        CHECK(candidates.at(choice.candidate).upstream == choice.upstream);
    }
}

TEST_CASE_METHOD(Fixture, "a zone that turns ten times slower is left for the other zone")
{
    // All upstreams of a zone slow down tenfold at once, by a noisy neighbour. They still answer and refuse nothing,
    // but every caller of the zone waits, while the zone next door is idle at three milliseconds' distance.
    answerCalls(view, "near-one", Milliseconds{5}, reportOf(2), 1000);
    answerCalls(view, "near-two", Milliseconds{5}, reportOf(2), 1000);
    CHECK(choose().value().reason == ChoiceReason::OwnZone);
    answerCalls(view, "near-one", Milliseconds{50}, reportOf(6, 50000), 8);
    CHECK(choose().value().upstream == UpstreamName{"near-two"});
    answerCalls(view, "near-two", Milliseconds{50}, reportOf(6, 50000), 8);
    const Choice choice = choose().value();
    CHECK(choice.reason == ChoiceReason::ZoneSpillWait);
    CHECK(choice.link == LinkKind::BetweenZones);
}

TEST_CASE_METHOD(Fixture, "refusals send calls to the other zone, and to another region only if the table lets them")
{
    refuse("near-one", Milliseconds{50});
    refuse("near-two", Milliseconds{50});
    CHECK(choose().value().reason == ChoiceReason::ZoneSpillRefused);
    refuse("next-one", Milliseconds{50});
    refuse("next-two", Milliseconds{50});
    CHECK(choose().error().reason == Reason::Overloaded);
    allowSpill();
    const Choice choice = choose().value();
    CHECK(choice.reason == ChoiceReason::RegionSpillRefused);
    CHECK(choice.link == LinkKind::BetweenRegions);
}

TEST_CASE_METHOD(Fixture, "an empty zone or region is told apart from a refusing one")
{
    candidates[0].weight = 0.0;
    candidates[1].weight = 0.0;
    CHECK(choose().value().reason == ChoiceReason::ZoneSpillEmpty);
    excluded = {UpstreamName{"next-one"}, UpstreamName{"next-two"}};
    const Result<Choice> none = choose();
    REQUIRE_FALSE(none);
    CHECK(none.error().verdict == Verdict::NotRun);
    CHECK(none.error().reason == Reason::NoUpstream);
    CHECK(none.error().retryAfter > Milliseconds{0});
    allowSpill();
    CHECK(choose().value().reason == ChoiceReason::RegionSpillEmpty);
}

TEST_CASE_METHOD(Fixture, "a storm of refusals ends at the ingress")
{
    // All upstreams are full and refuse. Callers repeat at once, and each repeat costs every upstream another refusal,
    // so that they spend their time on refusing. The ingress must answer by itself until the soonest may have room.
    const Milliseconds soonest{20};
    for (const char *name : {"near-one", "near-two", "next-one"}) {
        refuse(name, Milliseconds{80});
    }
    refuse("next-two", soonest);
    Milliseconds least{1000};
    Milliseconds most{0};
    for (int call = 0; call < 100; ++call) {
        const Result<Choice> refused = choose();
        REQUIRE_FALSE(refused);
        CHECK(refused.error().verdict == Verdict::NotRun);
        least = std::min(least, refused.error().retryAfter);
        most = std::max(most, refused.error().retryAfter);
    }
    CHECK(least >= soonest);
    CHECK(most > least);
    CHECK(choose(Start + soonest).value().upstream == UpstreamName{"next-two"});
}

TEST_CASE_METHOD(Fixture, "an upstream whose report says that it is leaving gets no new call")
{
    LoadReport leaving = reportOf(3);
    leaving.leaving = true;
    answerCalls(view, "near-one", Milliseconds{5}, leaving, 1);
    for (int call = 0; call < 50; ++call) {
        CHECK(choose().value().upstream == UpstreamName{"near-two"});
    }
}

TEST_CASE_METHOD(Fixture, "the best alternatives come first")
{
    candidates.clear();
    for (int index = 0; index < 8; ++index) {
        const std::string name = numbered("near-", index);
        candidates.push_back(candidateAt(name, "a"));
        for (int call = 0; call < 8 - index; ++call) {
            view.onSent(UpstreamName{name}, Start);
        }
    }
    const Choice choice = choose().value();
    REQUIRE(choice.alternativeCount == choice.alternatives.size());
    CHECK(choice.alternatives[0].score <= choice.alternatives[1].score);
    CHECK(choice.alternatives[1].score <= choice.alternatives[2].score);
    CHECK(choice.alternatives[2].candidate >= 4);
}
