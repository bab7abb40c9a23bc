package control

// QueueLength is how many events wait before Post does.
const QueueLength = queueLength
