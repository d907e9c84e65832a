#include <exception>
#include <iostream>
#include <map>
#include <string>

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "http/tcpendpoint.h"
#include "standins/loadgenerator.h"
#include "standins/loadplan.h"

using namespace Egretpath;

namespace
{

void addOptions(CLI::App &app, LoadPlan &plan)
{
    const std::map<std::string, KeySource> sources{{"none", KeySource::None},
                                                   {"endpoint", KeySource::Endpoint},
                                                   {"header", KeySource::Header},
                                                   {"random", KeySource::Random}};
    const auto isEndpoint = [](const std::string &text) {
        return toTcpEndpoint(Endpoint(text)) ? std::string() : text + " is not an IP address and port";
    };
    app.set_config("--plan", "", "TOML file with the options below");
    app.add_option("--ingress", plan.ingresses, "ingress endpoints")->required()->check(isEndpoint);
    app.add_option("--direct", plan.direct, "upstream stand-ins that half of the calls go to")->check(isEndpoint);
    app.add_option("--service", plan.services, "services to call, in turn");
    app.add_option("--rate", plan.callsPerSecond, "calls a second")->check(CLI::PositiveNumber);
    app.add_option("--seconds", plan.seconds, "length of the run")->check(CLI::Range(0.0, 3600.0));
    app.add_option("--calls", plan.calls, "most calls of the run");
    app.add_option("--lookups", plan.lookups, "weight of small GETs");
    app.add_option("--payments", plan.payments, "weight of small POSTs with a key");
    app.add_option("--uploads", plan.uploads, "weight of large POSTs with a key");
    app.add_option("--upload-bytes", plan.uploadBytes, "size of an upload");
    app.add_option("--answer-bytes", plan.answerBytes, "size of an answer");
    app.add_option("--deadline-ms", plan.deadlineMilliseconds, "deadline of each call");
    app.add_option("--caller-retries", plan.callerRetries, "tries after the first one, at other ingresses");
    app.add_option("--burst-every", plan.burstEverySeconds, "seconds between bursts; 0 for none");
    app.add_option("--burst-calls", plan.burstCalls, "calls of a burst");
    app.add_option("--max-in-flight", plan.maxInFlight, "arrivals beyond it are counted, not sent");
    app.add_option("--seed", plan.seed, "seed of arrivals and kinds");
    app.add_option("--keys", plan.keySource, "where idempotency keys come from: none, endpoint, header, random")
        ->transform(CLI::CheckedTransformer(sources));
    app.add_option("--history", plan.historyFile, "file that calls are appended to");
}

int runPlan(const LoadPlan &plan)
{
    boost::asio::io_context context(1);
    LoadGenerator generator(context.get_executor(), plan);
    const TimePoint start = std::chrono::steady_clock::now();
    Duration elapsed{0};
    boost::asio::co_spawn(
        context, [&] { return generator.run(); },
        [&](std::exception_ptr error) {
            elapsed = std::chrono::steady_clock::now() - start;
            context.stop();
            if (error) {
                std::rethrow_exception(error);
            }
        });
    context.run();
    generator.summary().print(std::cout, elapsed);
    return generator.summary().wrongAnswers() == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

}

int main(int argumentCount, char **arguments)
{
    LoadPlan plan;
    CLI::App app(
        "Sends calls at planned times, checks every answer and prints what came of them; see docs/standins.md.");
    addOptions(app, plan);
    CLI11_PARSE(app, argumentCount, arguments);
    try {
        return runPlan(plan);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
