#include "history/historyrecord.h"

namespace Egretpath
{

HistoryTime timeOf(const HistoryRecord &record)
{
    return std::visit([](const auto &item) { return item.time; }, record);
}

}
