#include "idempotency/ownerset.h"
