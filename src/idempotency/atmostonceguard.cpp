#include "idempotency/atmostonceguard.h"
