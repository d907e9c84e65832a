#include "idempotency/timedkeyboundary.h"
