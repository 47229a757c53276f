package entryhost

// LingerFor lets tests wait until a host stands by.
const LingerFor = lingerFor
