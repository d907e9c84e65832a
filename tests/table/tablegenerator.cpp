#include "tablegenerator.h"

#include <array>
#include <stdexcept>
#include <string>

#include "table/tablebuilder.h"
#include "table/tableparser.h"

namespace Egretpath
{

namespace
{

constexpr std::array ServiceNames{"statements", "arrangements", "intake"};
constexpr std::array RegionNames{"northmere", "eastholm", "southwick"};
constexpr int UpstreamsMost = 9;

std::uint32_t number(std::uint32_t least, std::uint32_t most)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(least, most + 1));
}

bool coin()
{
    return *rc::gen::arbitrary<bool>();
}

RegionName anyRegion()
{
    return RegionName(RegionNames.at(number(0, RegionNames.size() - 1)));
}

void addService(TableBuilder &builder, const ServiceName &service)
{
    builder.addRow(TableRow(ServicePolicy{service, Milliseconds(number(1, 600000)), number(1, 5),
                                          Bytes(number(1, 1024 * 1024 * 1024))}),
                   "generated", 0);
    for (const char *region : RegionNames) {
        if (coin()) {
            builder.addRow(TableRow(SpillPolicy{service, RegionName(region), number(0, 2)}), "generated", 0);
        }
    }
}

void addUpstream(TableBuilder &builder, const ServiceName &service, int index)
{
    builder.addRow(TableRow(UpstreamPolicy{UpstreamName("upstream-" + std::to_string(index)), service, anyRegion(),
                                           number(0, 3), number(1, 9), number(0, 9), number(1, 220)}),
                   "generated", 0);
}

TablePointer generate()
{
    TableBuilder builder;
    const std::uint32_t services = number(1, ServiceNames.size());
    for (std::uint32_t index = 0; index < services; ++index) {
        addService(builder, ServiceName(ServiceNames.at(index)));
    }
    for (const char *region : RegionNames) {
        if (coin()) {
            builder.addRow(TableRow(RegionPolicy{RegionName(region), Bytes(number(0, 2))}), "generated", 0);
        }
    }
    for (int index = 0; index < UpstreamsMost; ++index) {
        if (coin()) {
            addUpstream(builder, ServiceName(ServiceNames.at(number(0, services - 1))), index);
        }
    }
    return builder.build(TableNumber(number(1, 3)), "generated").value();
}

}

rc::Gen<TablePointer> anyTable()
{
    return rc::gen::exec(generate);
}

rc::Gen<TableVersion> anyVersion()
{
    return rc::gen::exec([] { return TableVersion{TableNumber(number(0, 2)), Digest{number(0, 2), number(0, 2)}}; });
}

TablePointer tableFrom(const std::string &text, std::uint64_t number)
{
    auto table = TableParser::parse(text, "test.csv", TableNumber(number));
    if (!table) {
        throw std::runtime_error(toString(table.error()));
    }
    return table.value();
}

}
