#include "idempotency/keyledger.h"
