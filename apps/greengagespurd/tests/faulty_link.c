/*
 * A layer below the daemon's connections that leads them through the links of
 * the scenario runner. Linked into greengagespurd_faulty_link, whose connect() it
 * replaces by symbol. Environment variable:
 *
 * GGS_FAULTY_LINKS: a file of lines "IP:PORT IP:PORT": an address that this
 *   process connects to and the address of the link that leads there. It is read
 *   at each connection; other addresses are connected to directly.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#define LINE_BYTES 128
#define ADDRESS_BYTES 64

static void redirect(struct sockaddr_in *to);

int
connect(int fd, const struct sockaddr *to, socklen_t len)
{
	struct sockaddr_in changed;

	if (to->sa_family == AF_INET && len >= sizeof(changed)) {
		memcpy(&changed, to, sizeof(changed));
		redirect(&changed);
		return (int)syscall(SYS_connect, fd, &changed, sizeof(changed));
	}
	return (int)syscall(SYS_connect, fd, to, len);
}

static void
redirect(struct sockaddr_in *to)
{
	const char *path = getenv("GGS_FAULTY_LINKS");
	FILE *in = path != NULL ? fopen(path, "r") : NULL;
	char line[LINE_BYTES], want[ADDRESS_BYTES], from[ADDRESS_BYTES],
	    ip[ADDRESS_BYTES];
	int port;

	if (in == NULL)
		return;
	inet_ntop(AF_INET, &to->sin_addr, ip, sizeof(ip));
	snprintf(want, sizeof(want), "%.20s:%d", ip, ntohs(to->sin_port));
	while (fgets(line, sizeof(line), in) != NULL) {
		if (sscanf(line, "%63s %63[0-9.]:%d", from, ip, &port) != 3 ||
		    strcmp(from, want) != 0)
			continue;
		inet_pton(AF_INET, ip, &to->sin_addr);
		to->sin_port = htons((uint16_t)port);
		break;
	}
	fclose(in);
}
