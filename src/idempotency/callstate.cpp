#include "idempotency/callstate.h"
