#include "idempotency/requestledger.h"
