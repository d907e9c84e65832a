#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include "cases.h"

/// Arguments: the case, the node's program, the file of the record, a temporary folder.
int main(int argumentCount, char **arguments)
{
    constexpr int ArgumentCount = 5;
    if (argumentCount != ArgumentCount) {
        std::cerr << "usage: review-standins CASE PROGRAM RECORD FOLDER\n";
        return Review::CannotRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    Review::Record record(arguments[3]);
    int result = Review::CannotRun;
    Review::Deployment deployment(record, arguments[2], arguments[4]);
    const std::string name = arguments[1];
    if (name == "lost-watch-answer") {
        result = Review::lostWatchAnswer(deployment, hasTrouble);
    } else if (name == "planned-stop") {
        result = Review::plannedStop(deployment, hasTrouble);
    } else if (name == "large-uploads") {
        result = Review::largeUploads(deployment, hasTrouble);
    }
    deployment.stopNodes();
    record.write("exit code " + std::to_string(result));
    // Threads of the stand-ins still wait for connections.
    std::_Exit(result);
}
