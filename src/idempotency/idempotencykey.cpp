#include "idempotency/idempotencykey.h"
