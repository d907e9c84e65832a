#include "history/historyreader.h"
