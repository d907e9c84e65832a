#include "idempotency/keyrouter.h"
