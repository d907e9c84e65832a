#include "history/historyrecord.h"
