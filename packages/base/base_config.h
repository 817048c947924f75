/*
 * Build-time constants shared by all packages.
 */
#ifndef BASE_CONFIG_H
#define BASE_CONFIG_H

#ifndef GGS_VERSION
#define GGS_VERSION "0.0.0" /* set by the build from the project version */
#endif

#ifndef GGS_MAX_THREADS
#define GGS_MAX_THREADS 128 /* threads with a metric slot of their own */
#endif

#ifndef GGS_LOG_LINE_BYTES
#define GGS_LOG_LINE_BYTES 1024 /* longest log line */
#endif

#endif
