#ifndef BENCH_FREE_PORT_H
#define BENCH_FREE_PORT_H

/** @file Ports of the loopback address for programs that start soon. */

/**
 * @param fd receives a socket that holds the port, for the caller to close.
 * @return a port that nobody uses, or -1.
 */
int free_port_hold(int *fd);

/** @return a port that nobody uses now, or -1. */
int free_port(void);

#endif
