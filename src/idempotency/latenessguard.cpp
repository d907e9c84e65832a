#include "idempotency/latenessguard.h"
