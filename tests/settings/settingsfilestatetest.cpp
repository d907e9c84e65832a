#include <string>

#include <catch2/catch.hpp>

#include "settings/settingsfilestate.h"

using namespace Egretpath;

namespace
{

using Step = SettingsFileState::Step;
using Content = SettingsResult<std::string>;

Content text(const char *content)
{
    return std::string(content);
}

Content unreadable()
{
    return SettingsProblems{{"node.toml", 0, {}, "unreadable", "a file that can be read"}};
}

}

TEST_CASE("content is taken once two reads agree, and not again")
{
    SettingsFileState state("old");
    CHECK(state.recordRead(text("old")) == Step::Wait);
    CHECK(state.recordRead(text("new")) == Step::ReadAgain);
    CHECK(state.recordRead(text("new")) == Step::Take);
    CHECK(state.recordRead(text("new")) == Step::Wait);
}

// Half of a file can be valid, with defaults in place of the keys that are missing.
TEST_CASE("a file that is being written is not taken before it is complete")
{
    SettingsFileState state("old");
    CHECK(state.recordRead(text("ne")) == Step::ReadAgain);
    CHECK(state.recordRead(text("new")) == Step::ReadAgain);
    CHECK(state.recordRead(text("new")) == Step::Take);
}

TEST_CASE("a file that is gone for a moment changes nothing")
{
    SettingsFileState state("old");
    CHECK(state.recordRead(unreadable()) == Step::ReadAgain);
    CHECK(state.recordRead(text("old")) == Step::Wait);
    CHECK(state.recordRead(unreadable()) == Step::ReadAgain);
}

TEST_CASE("a file that stays unreadable is reported once, and taken when it is back")
{
    SettingsFileState state("old");
    CHECK(state.recordRead(unreadable()) == Step::ReadAgain);
    CHECK(state.recordRead(unreadable()) == Step::Take);
    CHECK(state.recordRead(unreadable()) == Step::Wait);
    CHECK(state.recordRead(text("old")) == Step::ReadAgain);
    CHECK(state.recordRead(text("old")) == Step::Take);
}

TEST_CASE("a requested reload takes content that is in force already, once")
{
    SettingsFileState state("old");
    state.requestReload();
    CHECK(state.recordRead(text("old")) == Step::ReadAgain);
    CHECK(state.recordRead(text("old")) == Step::Take);
    CHECK(state.recordRead(text("old")) == Step::Wait);
}
