/*
 * Decisions of a node about calls: admission, choice of endpoint, retries,
 * outcomes and deadlines. The modules are pure: they get the time as an
 * argument, take no locks and do no I/O.
 */
#ifndef POLICY_H
#define POLICY_H

#include "admission.h"
#include "deadline.h"
#include "limiter.h"
#include "outcome.h"
#include "picker.h"
#include "retry.h"

#endif
