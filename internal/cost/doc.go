// Package cost estimates how long a request occupies a slot of a backend server.
//
// Requests of one service differ in cost by a factor of 50, and within a route a few in
// a hundred take several times as long as the others. A decision that counts requests
// takes a call of 15 ms for one of 750 ms.
//
// Mean. An Estimator keeps a moving mean for each route. It is the estimate until something
// else predicts better: the workspace, the path or the size of the body. For each of these
// kinds of classes the estimator compares, run by run, the error of the class's estimate with
// that of the route's, both in the logarithm, and uses the kind only on routes where its error
// is clearly smaller. A class with few runs stays near its route.
//
// Rest. The longer a run has lasted, the longer it is expected to last still if the
// distribution has a heavy tail. Each route has a histogram of its run times, from which
// Rest derives the mean rest of the runs that reached an age.
//
// Memory is bounded: routes in number, classes in a table of fixed size with hashed keys,
// in which a frequent class displaces a rare one. Old runs lose weight as new ones arrive.
package cost
