#include "client/nodeselection.h"

#include <fstream>

#include <CLI/App.hpp>

namespace Egretpath
{

namespace
{

/// Reads endpoints from a file with one endpoint on each line. Skips empty lines and lines that start with '#'. Returns
/// nullopt if the file can't be read.
std::optional<std::vector<Endpoint>> readNodeFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return std::nullopt;
    }
    std::vector<Endpoint> nodes;
    for (std::string line; std::getline(file, line);) {
        if (!line.empty() && !line.starts_with('#')) {
            nodes.emplace_back(line);
        }
    }
    return nodes;
}

}

void NodeSelection::declare(CLI::App &command)
{
    command.add_option("--node", nodes_, "ip:port of a node's operators endpoint; may be given several times");
    command.add_option("--nodes", file_, "a file with one ip:port in each line");
}

std::optional<std::vector<Endpoint>> NodeSelection::nodes(const CommandOutput &output) const
{
    std::vector<Endpoint> endpoints;
    if (!file_.empty()) {
        auto read = readNodeFile(file_);
        if (!read) {
            output.err << file_ << ": can't be read\n";
            return std::nullopt;
        }
        endpoints = std::move(*read);
    }
    for (const std::string &node : nodes_) {
        endpoints.emplace_back(node);
    }
    if (endpoints.empty()) {
        output.err << "name nodes with --node or --nodes\n";
        return std::nullopt;
    }
    return endpoints;
}

}
