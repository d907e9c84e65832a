#include "history/historywriter.h"
