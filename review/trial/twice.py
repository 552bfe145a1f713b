import asyncio, time
from pathlib import Path
import lab
from http_peer import Channel, PlainSocketEngine, request
from turmericflow.tests.platform_stand_ins import StoreStandIn, deployment
EVENTS, GAP, SILENT_AT, SILENT_S = 60, 0.05, 20, 1.6
class E(PlainSocketEngine):
    log=[]
    async def _stream(self, sock, headers):
        loop, id = asyncio.get_running_loop(), headers["x-turmericflow-attempt-id"]
        last = headers.get("last-event-id"); t0=time.monotonic(); end="done"
        n=int(last or 0); first = last is None
        try:
            await loop.sock_sendall(sock, ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" f"X-Turmericflow-Attempt-Id: {id}\r\nX-Turmericflow-Upstream-Signature: r\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
            while n < EVENTS:
                n+=1; await asyncio.sleep(GAP)
                if first and n==SILENT_AT:
                    u=time.monotonic()+SILENT_S
                    while time.monotonic()<u:
                        await asyncio.sleep(.02)
                        import socket as S
                        err=sock.getsockopt(S.SOL_SOCKET,S.SO_ERROR)
                        if err: end=f"err {err}"; raise OSError(err)
                        if not self.early:
                            try:
                                if sock.recv(1, S.MSG_PEEK|S.MSG_DONTWAIT)==b"": raise OSError("closed")
                            except BlockingIOError: pass
                ev=f"id: {n}\ndata: x\n\n".encode()
                await loop.sock_sendall(sock, b"%x\r\n%b\r\n"%(len(ev),ev))
            await loop.sock_sendall(sock,b"0\r\n\r\n")
        except OSError as e: end=repr(e); raise
        finally: self.log.append((id,self.name,last,t0,time.monotonic(),n,end))
async def one(host,k):
    ch=Channel(host.front); await ch.open(); await ch.send(request("POST","/stream/x",f"s-{k}",20000,b"x"*100000)); t=time.monotonic()
    a=await ch.answer(); print(k,a[0],a[2].count(b"id:"), round(time.monotonic()-t,2)); ch.close()
async def case(room):
    store = await room.add(StoreStandIn())
    for n in range(8):
        e=await room.add(E(f"e-{n}",f"dc-{n%3}",EVENTS,GAP,lab.TROUBLE)); store.put("servers",e.name,e.entry())
    c=deployment(); c["limits"]["maxBodyBytes"]=4194304; c["routes"][0]["timeoutMs"]=20000; store.put("config","main",c)
    (h,)=await room.add_hosts(1,store.address); await asyncio.sleep(4)
    for k in range(6): await one(h,k)
    by={}
    for r in E.log: by.setdefault(r[0],[]).append(r)
    for id,rs in by.items():
        rs.sort(key=lambda r:r[3]); 
        for r in rs: print(id,r[1],r[2],round(r[3]-rs[0][3],2),round(r[4]-rs[0][3],2),r[5],r[6])
    return []
lab.main(Path(__file__).parent, case)
