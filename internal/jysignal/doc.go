// Package jysignal exchanges observations of backend servers with the other instances, as UDP datagrams called signals. Failures and
// changed limits go to every data centre at once. Load and answers go to the local data centre, where traffic costs nothing, and to
// the data centre of the server. One instance per data centre also sends views of that data centre's servers (load and gray chance)
// and their limits to the others.
//
// New opens the socket, and Run exchanges signals. The Signals must be set as the directory's observer before its first Apply.
package jysignal
