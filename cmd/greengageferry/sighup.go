package main

/*
#include <signal.h>

// ignore_sighup runs before the Go runtime starts and packages are initialized, which takes
// tens of milliseconds on a busy machine. Until the program listens for SIGHUP, the signal
// must not end it; the settings are read after that.
__attribute__((constructor)) static void ignore_sighup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
