#ifndef BENCH_FREE_PORT_H
#define BENCH_FREE_PORT_H

/** @file Free ports of the loopback address, for programs about to start. */

/**
 * Binds a socket to a free port.
 *
 * @param fd receives the bound socket, which the caller closes.
 * @return the port, or -1 if none is free.
 */
int free_port_bind(int *fd);

/** @return a port that is free now, or -1. Not thread-safe. */
int free_port_find(void);

#endif
