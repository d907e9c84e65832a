#include "history/historyformat.h"
