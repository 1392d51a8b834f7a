// Package standin holds small stand-ins for what surrounds a node: the platform's
// store, backend servers and the operator. They speak the published protocol, so
// that the programs can be run and tested without the platform.
//
// The stand-ins know the names on the wire themselves. If they used package
// platform, a mistake there would cancel out.
package standin
