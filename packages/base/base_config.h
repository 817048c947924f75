/*
 * Build switches and limits shared by all packages.
 */
#ifndef BASE_CONFIG_H
#define BASE_CONFIG_H

#ifndef GGS_VERSION
#define GGS_VERSION "0.0.0" /* set by the build from the project version */
#endif

#ifndef GGS_MAX_THREADS
#define GGS_MAX_THREADS 128 /* threads that may own a counter slot */
#endif

#ifndef GGS_LOG_LINE_BYTES
#define GGS_LOG_LINE_BYTES 1024 /* longer log lines are cut */
#endif

#endif
