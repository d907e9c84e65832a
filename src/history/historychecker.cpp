#include "history/historychecker.h"
